.PHONY: packages build programs check demo process-faults format

packages:
	bash scripts/install_packages.sh

build:
	cmake --preset release >/dev/null && cmake --build --preset release

check:
	bash scripts/check.sh

programs:
	cmake --preset release >/dev/null && cmake --build --preset release --target fulmarwinchd fulmarwinch-standin

demo: packages programs
	python3 scripts/demo.py

process-faults: packages programs
	python3 scripts/process_faults.py

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i
