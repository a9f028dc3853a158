.PHONY: build test lint run

build:                     # target/lemondrift.jar and target/lib
	mvn -B -ntp -q -DskipTests package

test:                      # all tests and the lint, as CI does
	mvn -B -ntp verify

lint:                      # compiler warnings as errors, then the line length
	mvn -B -ntp -q test-compile checkstyle:check

run: build                 # one real proxy; PROXY_CONFIG names its configuration
	java -jar target/lemondrift.jar serve
