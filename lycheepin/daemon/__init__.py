"""The daemon process: tasks around the decisions."""
