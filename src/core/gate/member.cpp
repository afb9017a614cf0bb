#include "figstair/core/gate/member.h"

#include <array>
#include <tuple>

namespace figstair {
namespace {

constexpr std::array<std::string_view, 6> stateNames{"joining", "alive", "suspect",
                                                     "leaving", "left",  "dead"};

} // namespace

bool supersedes(const member &candidate, const member &known)
{
    return std::tuple(candidate.incarnation, candidate.refutation, candidate.state)
        > std::tuple(known.incarnation, known.refutation, known.state);
}

bool isPresent(member_state state)
{
    return state != member_state::left && state != member_state::dead;
}

bool mayBeBridge(member_state state)
{
    return isPresent(state) && state != member_state::suspect;
}

bool mayBeGate(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

std::string_view toText(member_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

} // namespace figstair
