"""The test suite; its folders mirror the package."""

import logging

logging.getLogger("blacksheep.server").setLevel(logging.ERROR)
