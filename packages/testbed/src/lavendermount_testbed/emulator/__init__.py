"""An emulator of targets, load and network on simulated time.

It drives the product's own decisions: choosing, admission, retries, hedges and
refusals. Only what surrounds them is emulated.
"""
