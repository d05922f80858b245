"""Makes the imports of a starting daemon cheaper.

A fleet that lost all its daemons starts them all at once, on small VMs; the
imports are most of what a start costs.
"""

import gc
import os
from collections.abc import Iterator
from contextlib import contextmanager

CERTIFICATE_VARIABLE = "SSL_CERT_FILE"


@contextmanager
def quick_imports() -> Iterator[None]:
    """Import without collecting garbage and without reading CA certificates.

    What is imported is kept until the process ends, so that collections look
    at it never again. aiohttp reads all CA certificates while it is imported;
    the daemons speak no TLS. The variable is put back afterwards.
    """
    before = os.environ.get(CERTIFICATE_VARIABLE)
    os.environ[CERTIFICATE_VARIABLE] = os.devnull
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
        if before is None:
            del os.environ[CERTIFICATE_VARIABLE]
        else:
            os.environ[CERTIFICATE_VARIABLE] = before
