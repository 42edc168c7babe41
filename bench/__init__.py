"""Measurements of the decisions and of what each mechanism costs."""
