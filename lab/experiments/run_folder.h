// The folder of a run: the wanted one, or one of its own that goes with it.
#pragma once
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace headrouter::experiments {

struct RunFolder {
    std::string path;
    bool own;
    explicit RunFolder(const std::string& wanted) : path(wanted), own(wanted.empty()) {
        if (own) {
            std::string form = (std::filesystem::temp_directory_path() / "headrouter-lab-XXXXXX").string();
            if (!mkdtemp(form.data())) throw std::runtime_error("cannot make a folder for the run");
            path = form;
        } else {
            std::filesystem::create_directories(path);
        }
    }
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;
    ~RunFolder() {
        std::error_code ignored;
        if (own) std::filesystem::remove_all(path, ignored);
    }
};

}  // namespace headrouter::experiments
