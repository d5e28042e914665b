#!/bin/sh
# make fuzz: runs every decoder under libFuzzer with AddressSanitizer and
# UBSan, each for FUZZ_SECONDS seconds (default 20). The seed corpus consists
# of demo and test documents and sample HTTP heads. Exits with 1 on the first
# finding.
set -e
SECONDS_EACH=${FUZZ_SECONDS:-20}
OUT=build/fuzz
TARGETS="frame settings platconf httphead credential meshframe documents storeitems"
SAN="-g -O1 -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined"
INC="-D_GNU_SOURCE -Isrc -I/usr/include/neon"
mkdir -p $OUT
SRC="xalloc lwstr status log platconf settings tomlkeys frame lw.pb-c request linux/clock httpd linux/sock bytebuf httphead notice overload overloadcost pathlevels level call fleetconf mesh.pb-c revdoc docfetch meshframe organisation credential name mailbox serverset serversetlist removal admit leaving place placestate placecost zoneplan machine placeindex placelist placeleaving placelevel retrylimit recentmax worktime"
OBJS=""
for f in $SRC; do
	o=$OUT/$(echo "$f" | tr / _).o
	# shellcheck disable=SC2086
	clang -std=gnu11 $SAN $INC -c "src/$f.c" -o "$o"
	OBJS="$OBJS $o"
done
for f in names fields documents storeitems; do
	# shellcheck disable=SC2086
	clang -std=gnu11 $SAN $INC -c "platform/$f.c" -o "$OUT/platform_$f.o"
	OBJS="$OBJS $OUT/platform_$f.o"
done
# shellcheck disable=SC2086
clang++ -std=c++17 $SAN $INC -c src/tomlshim.cc -o $OUT/tomlshim.o
for t in $TARGETS; do
	# shellcheck disable=SC2086
	clang -std=gnu11 $SAN $INC -c fuzz/fuzz_$t.c -o $OUT/fuzz_$t.o
	# shellcheck disable=SC2086
	clang++ -fsanitize=fuzzer,address,undefined $OUT/fuzz_$t.o $OBJS $OUT/tomlshim.o -o $OUT/fuzz_$t \
		-lprotobuf-c -lxxhash -lmicrohttpd -lhttp_parser -ljansson -lzstd -lnettle -lneon -lev -lurcu-bp -lurcu-common -lpthread -lm
	mkdir -p $OUT/corpus-$t
done
cp tests/scripts/*.toml demo/*.toml $OUT/corpus-platconf/
printf 'xGET /a/b HTTP/1.1\r\nHost: h\r\nConnection: close, X\r\nX: 1\r\nContent-Length: 3\r\n\r\n' >$OUT/corpus-httphead/request
printf 'yHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' >$OUT/corpus-httphead/response
printf '{"version":"r1","listeners":[{"host":"a.example","rules":[{"match":{"path_prefix":"/x/"},"action":{"service":"s"}}]}]}' >$OUT/corpus-documents/config
cp demo/node.toml $OUT/corpus-settings/
entry='{"address":"10.0.0.9:8080","info":{"service":"s1","zone":"a","slots":125},"status":{"state":"%s","cold_remaining_s":0,"sequence":4},"born":%s}'
# shellcheck disable=SC2059
{
	printf "\060$entry\377" ready 1700000000000
	printf "\060$entry\377" ready 9000000000000000000
	printf "\060$entry\377" draining 1700000000001
} >$OUT/corpus-storeitems/entries
for t in $TARGETS; do
	echo "== fuzz $t: $SECONDS_EACH s"
	ASAN_OPTIONS=detect_leaks=1 $OUT/fuzz_$t -max_total_time="$SECONDS_EACH" -rss_limit_mb=2048 \
		-max_len=65536 -print_final_stats=1 -artifact_prefix=$OUT/ $OUT/corpus-$t 2>$OUT/$t.log || {
		tail -30 $OUT/$t.log
		echo "fuzz: $t failed; the input is in $OUT"
		exit 1
	}
	grep -E 'stat::number_of_executed_units|^Done' $OUT/$t.log
done
