#include "figstair/core/gate/answer_assembly.h"

#include <algorithm>

#include <xxhash.h>

namespace figstair {
namespace {

constexpr std::uint32_t maxAnswerParts = 65536;

} // namespace

void answer_assembly::add(const datagram &answer)
{
    if (answer.partTotal == 0 || answer.partTotal > maxAnswerParts
        || answer.part >= answer.partTotal) {
        return;
    }
    if (answer.digest != m_digest || answer.partTotal != m_parts.size()) {
        m_parts.assign(answer.partTotal, std::nullopt);
        m_digest = answer.digest;
    }
    m_parts[answer.part] = std::string(answer.payload.begin(), answer.payload.end());
}

bool answer_assembly::isComplete() const
{
    const bool hasAll = !m_parts.empty()
        && std::all_of(m_parts.begin(), m_parts.end(),
                       [](const std::optional<std::string> &part) { return part.has_value(); });
    if (!hasAll) {
        return false;
    }
    const std::string whole = content();
    return XXH3_64bits(whole.data(), whole.size()) == m_digest;
}

std::optional<answer_assembly::part_range>
answer_assembly::missingRange(std::uint32_t maxCount) const
{
    if (m_parts.empty()) {
        return part_range{0, maxCount};
    }
    const auto isMissing = [](const std::optional<std::string> &part) { return !part.has_value(); };
    const auto first = std::find_if(m_parts.begin(), m_parts.end(), isMissing);
    if (first == m_parts.end()) {
        return std::nullopt;
    }
    const auto windowEnd = first + std::min<std::ptrdiff_t>(maxCount, m_parts.end() - first);
    const auto last = std::find_if(std::make_reverse_iterator(windowEnd),
                                   std::make_reverse_iterator(first), isMissing);
    return part_range{static_cast<std::uint32_t>(first - m_parts.begin()),
                      static_cast<std::uint32_t>(last.base() - first)};
}

std::string answer_assembly::content() const
{
    std::string whole;
    for (const std::optional<std::string> &part : m_parts) {
        whole += part.value_or("");
    }
    return whole;
}

void answer_assembly::clear()
{
    m_parts.clear();
    m_digest = 0;
}

} // namespace figstair
