#include "anvilmill/executor/fence.h"

#include <algorithm>

namespace anvilmill {

Fence FenceSequence::acquire(StoreVersion membership) noexcept
{
    m_current = std::max(m_current + 1, membership << RaiseBits);
    return m_current;
}

Fence FenceSequence::raise() noexcept
{
    return ++m_current;
}

} // namespace anvilmill
