"""Other entry VMs, over gRPC: exchange of facts and forwarded orders."""
