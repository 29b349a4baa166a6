#include "crocuscove/document/yaml_tree.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <utility>

namespace crocuscove::document {

namespace {

// yaml-cpp reports these tags for scalars without an explicit tag.
constexpr std::string_view plainTag = "?";
constexpr std::string_view quotedTag = "!";

Place placeOf(const YAML::Mark& mark) { return mark.is_null() ? Place {} : Place { mark.line + 1, mark.column + 1 }; }

/// Ends the reading of a text that exceeds a bound.
struct BoundExceeded {
    Place place;
    std::string cause;
    std::string allowed;
};

class TreeBuilder : public YAML::EventHandler {
public:
    explicit TreeBuilder(ProblemList& problems)
        : m_problems(problems)
    {
    }

    YamlNode takeRoot() { return std::move(m_root); }

    void OnDocumentStart(const YAML::Mark& mark) override
    {
        if (m_hasDocument) {
            throw BoundExceeded { placeOf(mark), "a second YAML document follows", "one YAML document" };
        }
        m_hasDocument = true;
    }

    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        attach(makeNode(YamlKind::Null, mark, "", anchor));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        m_problems.add(placeOf(mark), wholeDocument, "aliases are not supported", "each value written out");
        attach(makeNode(YamlKind::Refused, mark, "", 0));
    }

    void OnScalar(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, const std::string& value) override
    {
        YamlNode node = makeNode(YamlKind::Scalar, mark, tag, anchor);
        node.text = value;
        node.isQuoted = tag == quotedTag;
        attach(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value /*style*/) override
    {
        open(makeNode(YamlKind::Sequence, mark, tag, anchor));
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
        YAML::EmitterStyle::value /*style*/) override
    {
        open(makeNode(YamlKind::Map, mark, tag, anchor));
    }

    void OnMapEnd() override { close(); }

private:
    struct Frame {
        YamlNode node;
        std::optional<YamlNode> key;
    };

    YamlNode makeNode(YamlKind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
    {
        const Place place = placeOf(mark);
        if (++m_nodes > maxYamlNodes) {
            throw BoundExceeded { place, "too many values", fmt::format("at most {} keys and values", maxYamlNodes) };
        }
        if (anchor != 0) {
            m_problems.add(place, wholeDocument, "anchors are not supported", "each value written out");
        }
        if (!tag.empty() && tag != plainTag && tag != quotedTag) {
            m_problems.add(place, wholeDocument, "tag " + quoteForMessage(tag) + " is not supported", "no tags");
        }
        YamlNode node;
        node.kind = kind;
        node.place = place;
        return node;
    }

    void open(YamlNode node)
    {
        if (m_frames.size() >= maxYamlDepth) {
            throw BoundExceeded { node.place, "nested too deeply", fmt::format("at most {} levels", maxYamlDepth) };
        }
        m_frames.push_back({ std::move(node), std::nullopt });
    }

    void close()
    {
        YamlNode node = std::move(m_frames.back().node);
        m_frames.pop_back();
        attach(std::move(node));
    }

    void attach(YamlNode node)
    {
        if (m_frames.empty()) {
            m_root = std::move(node);
            return;
        }
        Frame& frame = m_frames.back();
        if (frame.node.kind == YamlKind::Sequence) {
            frame.node.items.push_back(std::move(node));
        } else if (!frame.key) {
            frame.key = std::move(node);
        } else {
            frame.node.entries.push_back({ std::move(*frame.key), std::move(node) });
            frame.key.reset();
        }
    }

    ProblemList& m_problems;
    YamlNode m_root;
    std::vector<Frame> m_frames;
    std::size_t m_nodes = 0;
    bool m_hasDocument = false;
};

} // namespace

std::optional<YamlNode> readYaml(std::string_view text, ProblemList& problems)
{
    try {
        std::istringstream stream { std::string(text) };
        YAML::Parser parser(stream);
        TreeBuilder builder(problems);
        if (!parser.HandleNextDocument(builder)) {
            problems.add({ 1, 1 }, wholeDocument, "the document is empty", "one YAML document");
            return std::nullopt;
        }
        YamlNode root = builder.takeRoot();
        if (parser.HandleNextDocument(builder)) {
            return std::nullopt;
        }
        return root;
    } catch (const BoundExceeded& error) {
        problems.add(error.place, wholeDocument, error.cause, error.allowed);
    } catch (const YAML::Exception& error) {
        problems.add(placeOf(error.mark), wholeDocument, "syntax: " + escapeForMessage(error.msg), "YAML 1.2");
    }
    return std::nullopt;
}

} // namespace crocuscove::document
