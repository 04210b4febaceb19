"""A prompt part that crashes servers is not recognised behind the 16th part."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import deadly_requests
from platform_standins import run_case

# 1: the part crashes servers; 0: it is sound.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "18"))

run_case(FOLDER, lambda record, nodes: deadly_requests.run(
    record, nodes, HAS_TROUBLE, SHARED_PARTS, 0))
