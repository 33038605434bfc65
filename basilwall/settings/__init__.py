"""Settings of one VM: models, validation and reloading."""
