#include "figstair/core/state_chart.h"

#include <cassert>
#include <sstream>

#include <boost/leaf.hpp>
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include "figstair/core/embedded_charts.h"

namespace leaf = boost::leaf;

namespace figstair {
namespace {

leaf::result<boost::property_tree::ptree> readXml(std::string_view text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_xml(stream, tree);
    } catch (const boost::property_tree::xml_parser_error &error) {
        return leaf::new_error(chart_error{error.what()});
    }
    return tree;
}

chart_error undefinedTarget(const std::string &state, const std::string &event,
                            const std::string &target)
{
    std::ostringstream text;
    text << "state '" << state << "' event '" << event << "' leads to undefined state '" << target
         << "'";
    return chart_error{text.str()};
}

state_chart parseEmbedded(std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<state_chart> { return state_chart::parse(text); },
        [](const chart_error &error) -> state_chart {
            throw std::logic_error("embedded chart: " + error.problem);
        },
        []() -> state_chart { throw std::logic_error("embedded chart cannot be parsed"); });
}

} // namespace

leaf::result<state_chart> state_chart::parse(std::string_view text)
{
    BOOST_LEAF_AUTO(tree, readXml(text));
    const auto root = tree.get_child_optional("scxml");
    if (!root) {
        return leaf::new_error(chart_error{"no scxml element"});
    }
    state_chart chart;
    chart.m_initial = root->get("<xmlattr>.initial", "");
    for (const auto &[tag, node] : *root) {
        if (tag != "state") {
            continue;
        }
        transitions &outgoing = chart.m_states[node.get("<xmlattr>.id", "")];
        for (const auto &[childTag, child] : node) {
            if (childTag == "transition") {
                outgoing[child.get("<xmlattr>.event", "")] = child.get("<xmlattr>.target", "");
            }
        }
    }
    if (chart.m_states.count(chart.m_initial) == 0) {
        return leaf::new_error(
            chart_error{"initial state '" + chart.m_initial + "' is not defined"});
    }
    for (const auto &[state, outgoing] : chart.m_states) {
        for (const auto &[event, target] : outgoing) {
            if (chart.m_states.count(target) == 0) {
                return leaf::new_error(undefinedTarget(state, event, target));
            }
        }
    }
    return chart;
}

const std::string &state_chart::next(const std::string &state, const std::string &event) const
{
    const auto found = m_states.find(state);
    assert(found != m_states.end());
    const auto transition = found->second.find(event);
    if (transition == found->second.end()) {
        return found->first;
    }
    return m_states.find(transition->second)->first;
}

chart_position::chart_position(const state_chart &chart)
    : m_chart(&chart)
    , m_state(&chart.initial())
{
}

bool chart_position::fire(const std::string &event)
{
    const std::string &next = m_chart->next(*m_state, event);
    const bool changed = next != *m_state;
    m_state = &next;
    return changed;
}

const state_chart &hostChart()
{
    static const state_chart chart = parseEmbedded(hostChartText());
    return chart;
}

const state_chart &upstreamChart()
{
    static const state_chart chart = parseEmbedded(upstreamChartText());
    return chart;
}

const state_chart &upstreamHealthChart()
{
    static const state_chart chart = parseEmbedded(upstreamHealthChartText());
    return chart;
}

} // namespace figstair
