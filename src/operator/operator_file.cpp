#include "operator/operator_file.h"

#include "toml/fields.h"

namespace headrouter {

static void read_log(Fields f, OperatorFile& o) {
    if (f.has("level"))
        f.one_of<Level>("level", o.log_level.emplace(),
                        {{"error", Level::error},
                         {"warning", Level::warning},
                         {"info", Level::info},
                         {"debug", Level::debug}});
    if (f.has("format"))
        f.one_of<Log::Form>("format", o.log_form.emplace(),
                            {{"text", Log::Form::text}, {"json", Log::Form::json}});
    f.finish();
}

OperatorFile read_operator(const std::string& text, const std::string& file) {
    const toml::table root = parse_toml(text, file);
    Fields f(root, file, "");
    OperatorFile o;
    for (const Fields& log : f.table("log")) read_log(log, o);
    f.finish();
    return o;
}

OperatorFile read_operator_file(const std::string& path) { return read_operator(file_text(path), path); }

}  // namespace headrouter
