#include "figstair/host/log_explanation.h"

#include <functional>
#include <map>

namespace figstair {
namespace {

/// Value of a field of @p line, or "?".
std::string fieldOf(const log_line &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? "?" : found->second;
}

using explanation = std::function<std::string(const log_line &)>;

std::string overload(const log_line &line)
{
    return "upstreams of " + fieldOf(line, "service") + " are saturated: "
        + fieldOf(line, "arrivals_per_s") + " new flows a second came to this host, which has "
        + fieldOf(line, "open") + " requests open for its share of " + fieldOf(line, "slots")
        + " slots; the flow would have waited " + fieldOf(line, "predicted_ms")
        + " ms and could have been held for " + fieldOf(line, "most_ms") + " ms";
}

std::string noRoute(const log_line &line)
{
    return "configuration " + fieldOf(line, "config") + " has no route with this address and port";
}

std::string noUpstream(const log_line &line)
{
    return "no upstream of " + fieldOf(line, "service")
        + " takes new flows: all have left, drain or are in evacuated zones";
}

std::string overShare(const log_line &line)
{
    return "upstreams of " + fieldOf(line, "service")
        + " are saturated, and this caller asks for far more than the others";
}

std::string heldTooLong(const log_line &line)
{
    return "no upstream of " + fieldOf(line, "service") + " had room while the flow was held, for "
        + fieldOf(line, "age_ms") + " ms since its caller's first SYN; its host has "
        + fieldOf(line, "open") + " requests open for its share of " + fieldOf(line, "slots")
        + " slots";
}

std::string tooManyHeld(const log_line &)
{
    return "too many flows were held, and this caller had the most of them";
}

std::string unknownTag(const log_line &)
{
    return "no upstream is known by the tag that the packet returned: it left longer ago than the "
           "flow lifetime, or the packet is forged";
}

const std::map<std::string, explanation> &explanations()
{
    static const std::map<std::string, explanation> byReason{
        {"overloaded", overload},       {"no_route", noRoute},
        {"no_upstream", noUpstream},    {"caller_over_share", overShare},
        {"held_too_long", heldTooLong}, {"too_many_held", tooManyHeld},
        {"unknown_tag", unknownTag},
    };
    return byReason;
}

} // namespace

std::string explanationOf(const log_line &line)
{
    const bool isRefused = line.event == "flow_refused";
    const bool isDropped = line.event == "flow_dropped" || line.event == "packet_dropped";
    if (!isRefused && !isDropped) {
        return {};
    }
    const auto found = explanations().find(fieldOf(line, "reason"));
    if (found == explanations().end()) {
        return {};
    }
    std::string text = found->second(line);
    if (isRefused) {
        text += "; the caller was told by a reset, its request has not run";
    } else if (line.event == "flow_dropped") {
        text += "; the caller was not told, since an upstream may have got another SYN of the flow";
    }
    return text;
}

} // namespace figstair
