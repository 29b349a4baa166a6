#pragma once

#include <string>

namespace crocuscove::testing {

/// Rows of another writer, as text: some are no JSON, others hold values of another type or out of range. All of them
/// have balanced brackets and quotes.
inline std::string oddRows()
{
    constexpr std::size_t depth = 50'000;
    return R"(1e999,"\ud800",{a:1},tru,null,7,[],{},["x"],[[[[]]]],)"
           "\"\xff\xfe\",{\"machine\":\"\xc3\x28\",\"state\":\"up\"},"
           R"({"machine":7,"state":"up","capacity":{"cpu":1e300}},)"
           R"({"machine":"odd","pool":"pool","state":"up","capacity":{"cpu":9223372036854775807}},)"
           R"({"machine":"odd","pool":"pool","state":"asleep","id":"w1"},)"
           R"(["00000000000000ee.0.0.0",4294967298,"",1e300,-1e300],)"
           R"([18446744073709551615,"00000000000000ee.0.0.0",1,"done",""],)"
           R"([9223372036854775807,"00000000000000ee.0.0.0",1,"done",""],)"
           R"([-1,"00000000000000ee.0.0.0",-1,"done",""],)"
        + std::string(depth, '[') + std::string(depth, ']');
}

/// Puts the odd rows before the rows of the list that `name` has in a message.
inline std::string withOddRows(std::string body, const std::string& name)
{
    const std::string start = '"' + name + "\":[";
    const auto found = body.find(start);
    if (found == std::string::npos) {
        return body;
    }
    const auto rows = found + start.size();
    return body.insert(rows, oddRows() + (body[rows] == ']' ? "" : ","));
}

} // namespace crocuscove::testing
