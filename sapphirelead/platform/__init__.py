"""The users' platform: translates between the product's types and what the platform speaks.

Nothing here decides or keeps state that outlives a call.  Each name of the platform is decoded
once, into a type whose fields say what they hold; nothing outside this folder knows these names.

The modules that begin with ``local_`` bind the project's own stand-ins of a platform, behind the
same protocols.
"""
