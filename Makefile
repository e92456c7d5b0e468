# The usual tasks by name; .ci/run does the first two on a new machine.
.PHONY: build deps test lint run demo clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4

# As root, once on a new machine.
deps:
	tools/deps

test: build
	ctest --test-dir build --output-on-failure -j4

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.h')
	cmake -B build -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
	git ls-files 'src/*.cpp' | xargs -P 8 -n 1 clang-tidy -p build --quiet --warnings-as-errors='*' \
	    --checks='-*,clang-analyzer-*,bugprone-use-after-move,bugprone-dangling-handle,performance-*'

# make run CONFIG=balancer.json
run: build
	PROXY_CONFIG=$(CONFIG) build/headrouter serve

# Two balancers and a stand-in fleet on loopback, with clients being served.
demo: build
	build/headrouter_lab demo

clean:
	rm -rf build
