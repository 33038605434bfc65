"""One query: pin a snapshot, scatter, gather, and state the coverage."""
