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
	tools/lint

# make run CONFIG=balancer.json
run: build
	PROXY_CONFIG=$(CONFIG) build/headrouter serve

# Two balancers and a stand-in fleet on loopback, with clients being served.
demo: build
	build/headrouter_lab demo

clean:
	rm -rf build
