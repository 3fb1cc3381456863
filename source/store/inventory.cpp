#include "store/inventory.h"

namespace almondquay {

std::string_view name_of(inventory_kind kind)
{
    switch (kind) {
    case inventory_kind::configuration:
        return "configuration";
    case inventory_kind::targets:
        return "targets";
    case inventory_kind::evacuations:
        return "evacuated domains";
    case inventory_kind::hosts:
        return "hosts";
    }
    return "unknown";
}

} // namespace almondquay
