#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

namespace figstair {

/// Reports why a chart cannot be parsed.
struct chart_error
{
    std::string problem;
};

/// An immutable state chart read from a flat SCXML subset: states with event transitions.
class state_chart
{
public:
    /// Parses @p text. Fails with chart_error when it is not XML, has no scxml element or defined
    /// initial state, or has a transition to an undefined state.
    static boost::leaf::result<state_chart> parse(std::string_view text);

    const std::string &initial() const { return m_initial; }

    /// Returns the state that follows @p state on @p event; the same state when it has no such
    /// transition. @p state must be a state of the chart.
    const std::string &next(const std::string &state, const std::string &event) const;

private:
    using transitions = std::map<std::string, std::string>;

    std::string m_initial;
    std::map<std::string, transitions> m_states;
};

/// The current state of one instance of a chart. The chart must outlive it.
class chart_position
{
public:
    explicit chart_position(const state_chart &chart);

    const std::string &state() const { return *m_state; }
    bool is(std::string_view state) const { return *m_state == state; }

    /// Takes the transition for @p event. Returns false when the state stays the same.
    bool fire(const std::string &event);

private:
    const state_chart *m_chart;
    const std::string *m_state;
};

/// The life cycle of a host, parsed once from the embedded chart.
const state_chart &hostChart();

/// A gate's view of the state of one upstream, parsed once from the embedded chart.
const state_chart &upstreamChart();

/// A host's view of the health of one upstream on the platform's packet path, parsed once from the
/// embedded chart.
const state_chart &upstreamHealthChart();

} // namespace figstair
