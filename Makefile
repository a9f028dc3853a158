.PHONY: build test lint format run

build:                     # target/lemondrift.jar, target/lib and the class archive, as the deploy file says
	@sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml | sh

test:                      # all tests and the linters, as CI does
	mvn -B -ntp verify

lint:                      # formatter, compiler warnings and Error Prone as errors, Checkstyle; no tests
	mvn -B -ntp -q spotless:check test-compile checkstyle:check

format:                    # applies the formatter
	mvn -B -ntp -q spotless:apply

run: build                 # one real proxy; PROXY_CONFIG names its configuration
	java -jar target/lemondrift.jar serve
