"""Stand-ins for searchers and for the services of the platform.

Tests, the soak, the bench and the demo start them in place of the real ones.
"""
