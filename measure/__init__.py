"""Measurements: speed, slopes and policy. Figures go to build/measure/."""
