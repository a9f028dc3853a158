.PHONY: build test lint run

build:                     # target/lemondrift.jar, target/lib and the class archive, as the deploy file says
	@sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml | sh

test:                      # all tests and the lint, as CI does
	mvn -B -ntp verify

lint:                      # compiler warnings as errors, then the line length
	mvn -B -ntp -q test-compile checkstyle:check

run: build                 # one real proxy; PROXY_CONFIG names its configuration
	java -jar target/lemondrift.jar serve
