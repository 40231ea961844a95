"""Adapters that translate between the product's types and the platform's wire formats.

The package makes no scheduling decisions.  The platform's field names are decoded once, into typed
values, and are not used outside this package.  The modules prefixed with ``local_`` connect to the
project's own stand-ins for the platform.
"""
