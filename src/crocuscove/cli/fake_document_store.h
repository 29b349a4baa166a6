#pragma once

#include <fmt/format.h>

#include <map>
#include <string>
#include <vector>

namespace crocuscove::cli {

struct FakeRevision {
    std::string text;
    std::string requestId;
};

struct FakeRequest {
    std::string method;
    std::string path;
    std::string requestId;
    std::string expectedRevision;
    std::string body;
};

struct FakeAnswer {
    int status = 200;
    std::string body;
    std::string revision {};
};

/// The documents of the fake admin API. It executes a request id once.
class FakeDocumentStore {
public:
    std::map<std::string, std::vector<FakeRevision>> documents;
    /// Fixed answers by path.
    std::map<std::string, std::string> answers;
    /// How often the rollout is still reported as unfinished.
    int unfinishedRollouts = 0;

    FakeAnswer execute(const FakeRequest& record)
    {
        const auto answer = answers.find(record.path);
        if (answer != answers.end()) {
            return { 200, answer->second };
        }
        const std::string prefix = "/v1/documents/";
        if (!record.path.starts_with(prefix)) {
            return record.path == "/v1/documents" ? listDocuments() : FakeAnswer { 404, "{}" };
        }
        const std::string rest = record.path.substr(prefix.size());
        const std::string service = rest.substr(0, rest.find_first_of("/?"));
        return record.method == "PUT" ? write(service, record) : read(service, rest.substr(service.size()));
    }

private:
    FakeAnswer listDocuments()
    {
        std::string items;
        for (const auto& [service, revisions] : documents) {
            items += fmt::format(R"({}{{"service":"{}","revision":{},"team":"shops"}})", items.empty() ? "" : ",",
                service, revisions.size());
        }
        return { 200, fmt::format(R"({{"documents":[{}]}})", items) };
    }

    FakeAnswer read(const std::string& service, const std::string& what)
    {
        const auto found = documents.find(service);
        if (found == documents.end()) {
            return { 404, R"({"error":"not-found"})" };
        }
        const std::vector<FakeRevision>& revisions = found->second;
        const std::size_t last = revisions.size();
        if (what == "/history") {
            std::string items;
            for (std::size_t index = 0; index < last; ++index) {
                items += fmt::format(R"({}{{"revision":{},"appliedAtMs":{},"requestId":"{}"}})", index > 0 ? "," : "",
                    index + 1, 1000 * index, revisions[index].requestId);
            }
            return { 200, fmt::format(R"({{"service":"{}","revisions":[{}]}})", service, items) };
        }
        if (what == "/rollout") {
            const bool isFinished = unfinishedRollouts-- <= 0;
            return { 200,
                fmt::format(R"({{"service":"{}","revision":{},"nodes":[{{"node":"a","revision":{},"inForce":true}},)"
                            R"({{"node":"b","revision":{},"inForce":{}}}]}})",
                    service, last, last, isFinished ? last : last - 1, isFinished) };
        }
        const std::string query = "?revision=";
        const std::size_t revision = what.starts_with(query) ? std::stoul(what.substr(query.size())) : last;
        if (revision == 0 || revision > last) {
            return { 404, R"({"error":"not-found"})" };
        }
        return { 200, revisions[revision - 1].text, std::to_string(revision) };
    }

    FakeAnswer write(const std::string& service, const FakeRequest& record)
    {
        const auto known = m_results.find(record.requestId);
        if (known != m_results.end()) {
            return known->second;
        }
        std::vector<FakeRevision>& revisions = documents[service];
        const bool isSame = !revisions.empty() && revisions.back().text == record.body;
        FakeAnswer answer;
        if (std::to_string(revisions.size()) != record.expectedRevision) {
            answer = { 409,
                fmt::format(R"({{"error":"revision-conflict","revisionInForce":{},)"
                            R"("difference":[{}]}})",
                    revisions.size(), isSame ? "" : R"({"field":"team","before":"shops","after":"sales"})") };
        } else {
            revisions.push_back({ record.body, record.requestId });
            answer = { 200, fmt::format(R"({{"service":"{}","revision":{}}})", service, revisions.size()) };
        }
        m_results[record.requestId] = answer;
        return answer;
    }

    std::map<std::string, FakeAnswer> m_results;
};

} // namespace crocuscove::cli
