"""Simulations of the decision code (`lycheepin.steering`) in virtual time, under modelled load."""
