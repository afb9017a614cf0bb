#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/gate/host_output.h"

namespace figstair {

/// Ring buffer of the newest trace spans of one host.
class span_log
{
public:
    explicit span_log(std::size_t capacity); ///< @p capacity is a number of spans

    void add(const span_record &span);
    std::vector<span_record> find(std::uint64_t traceId) const;

private:
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::vector<span_record> m_spans;
};

} // namespace figstair
