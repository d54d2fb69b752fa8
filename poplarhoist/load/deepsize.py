"""Memory that a piece of state holds."""

import gc
import sys
import types

SKIPPED_TYPES = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def deep_size(root: object) -> int:
    """Return the bytes of an object and of all that only data reaches from it.

    Classes, modules and functions are left out, as they are there without the object.
    """
    seen_ids: set[int] = set()
    pending = [root]
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen_ids or isinstance(item, SKIPPED_TYPES):
            continue
        seen_ids.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total
