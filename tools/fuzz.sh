#!/bin/sh
# make fuzz: every decoder under libFuzzer with AddressSanitizer and UBSan,
# for a bounded time each (FUZZ_SECONDS, default 20). Seeds: the demo and
# test documents and frames of every kind. Exits 1 on the first finding.
set -e
SECONDS_EACH=${FUZZ_SECONDS:-20}
OUT=build/fuzz
SAN="-g -O1 -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined"
INC="-D_GNU_SOURCE -Isrc"
mkdir -p $OUT
SRC="xalloc lwstr status log platconf settings frame lw.pb-c request linux/clock httpd linux/sock"
OBJS=""
for f in $SRC; do
	o=$OUT/$(echo "$f" | tr / _).o
	# shellcheck disable=SC2086
	clang -std=gnu11 $SAN $INC -c "src/$f.c" -o "$o"
	OBJS="$OBJS $o"
done
# shellcheck disable=SC2086
clang++ -std=c++17 $SAN $INC -c src/tomlshim.cc -o $OUT/tomlshim.o
for t in frame settings platconf; do
	# shellcheck disable=SC2086
	clang -std=gnu11 $SAN $INC -c fuzz/fuzz_$t.c -o $OUT/fuzz_$t.o
	# shellcheck disable=SC2086
	clang++ -fsanitize=fuzzer,address,undefined $OUT/fuzz_$t.o $OBJS $OUT/tomlshim.o -o $OUT/fuzz_$t \
		-lprotobuf-c -lxxhash -lmicrohttpd -lpthread -lm
	mkdir -p $OUT/corpus-$t
done
cp tests/scripts/*.toml demo/*.toml $OUT/corpus-platconf/
cp demo/node.toml $OUT/corpus-settings/
for t in frame settings platconf; do
	echo "== fuzz $t: $SECONDS_EACH s"
	ASAN_OPTIONS=detect_leaks=1 $OUT/fuzz_$t -max_total_time="$SECONDS_EACH" -rss_limit_mb=2048 \
		-max_len=65536 -print_final_stats=1 -artifact_prefix=$OUT/ $OUT/corpus-$t 2>$OUT/$t.log || {
		tail -30 $OUT/$t.log
		echo "fuzz: $t failed; the input is in $OUT"
		exit 1
	}
	grep -E 'stat::number_of_executed_units|^Done' $OUT/$t.log
done
