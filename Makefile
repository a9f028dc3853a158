.PHONY: build test lint format run

build:                     # builds target/lemondrift.jar, target/lib and the class archive with the command in the deploy file
	@sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml | sh

test:                      # runs all tests and the linters, as CI does
	mvn -B -ntp verify

lint:                      # checks the format, compiler warnings, Error Prone and Checkstyle; runs no tests
	mvn -B -ntp -q spotless:check test-compile checkstyle:check

format:                    # applies the formatter
	mvn -B -ntp -q spotless:apply

run: build                 # starts one proxy; PROXY_CONFIG names its configuration file
	java -jar target/lemondrift.jar serve
