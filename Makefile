.PHONY: packages build check demo format

packages:
	bash scripts/install_packages.sh

build:
	cmake --preset release >/dev/null && cmake --build --preset release

check:
	bash scripts/check.sh

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i
