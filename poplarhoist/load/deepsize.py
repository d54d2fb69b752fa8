"""Memory size of an object with everything that it refers to."""

import gc
import sys
import types

SKIPPED_TYPES = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType)


def deep_size(root: object) -> int:
    """Return the bytes of an object and of all data that is reachable from it.

    Shared data counts once. Classes, modules and functions are left out, since they exist without
    the object too.
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
