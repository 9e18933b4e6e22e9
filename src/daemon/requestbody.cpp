#include "requestbody.h"

#include <array>

namespace anvilmill::daemon {

RequestBody readBody(std::istream &in, std::size_t limit, ByteCharge &charge)
{
    constexpr std::size_t ChunkSize = 16384;
    RequestBody body;
    std::array<char, ChunkSize> chunk{};
    while (in.read(chunk.data(), chunk.size()) || in.gcount() > 0) {
        const auto count = static_cast<std::size_t>(in.gcount());
        if (body.text.size() + count > limit)
            return {RequestBody::End::TooLarge, {}};
        body.text.append(chunk.data(), count);
        if (!charge.resize(body.text.capacity()))
            return {RequestBody::End::NoMemory, {}};
    }
    return body;
}

} // namespace anvilmill::daemon
