#include "capture/segment_layout.h"

#include <xxhash.h>

namespace headrouter::capture {

Checksum checksum_of(std::string_view bytes, Checksum seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace headrouter::capture
