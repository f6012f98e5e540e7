"""The check of a configuration before it is written to the platform's store."""

from __future__ import annotations

import asyncio
import copy
import json

import platform_cluster
import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_adapter import configuration_check
from poplarwick_core import errors
from poplarwick_node import check_command
from poplarwick_standins import platform_store

KEY = platform_cluster.KEY
CLEAN = platform_cluster.make_configuration()
SECOND = {"name": "two", "api_keys": ["key-of-two"], "priority": 2}


def change(*changes):
    """Returns the clean configuration with values replaced by path."""
    configuration = copy.deepcopy(CLEAN)
    for path, value in changes:
        *parents, last = path
        item = configuration
        for name in parents:
            item = item[name]
        if isinstance(item, list) and last == len(item):
            item.append(value)
        else:
            item[last] = value
    return configuration


def encode(configuration):
    return json.dumps(configuration, indent=1).encode()


def check(*changes):
    return configuration_check.check_configuration(
        encode(change(*changes)), "c.json"
    )


def list_found(report):
    return [
        f"{f.rule.value} {f.severity.value} {f.path}" for f in report.findings
    ]


def split(*pairs):
    return [{"service": name, "weight": weight} for name, weight in pairs]


def route(name, **changes):
    return platform_cluster.make_route(name, "idempotent", "orders", **changes)


def test_clean_configuration_has_no_findings():
    assert check().findings == ()
    longer = route("a", path_prefix="/stock/a/") | {"service": None}
    longer["traffic_split"] = split(("orders", 1), ("pool", 3))
    assert check((("routes", 3), longer)).findings == ()


R = ("routes", 0)
S = ("services", 0)
ENGINE = (*S, "engine")
NORTH = {**SECOND, "allowed_regions": ["n", "w"]}


def set_split(*pairs):
    return ((*R, "service"), None), ((*R, "traffic_split"), split(*pairs))


@pytest.mark.parametrize(
    ("expected", "changes"),
    [
        (
            "route_never_matches error $.routes[3].path_prefix",
            [(("routes", 3), route("new", path_prefix="/stock/"))],
        ),
        (
            "route_never_matches error $.routes[0].host",
            [((*R, "host"), "front.example:80")],
        ),
        (
            "route_never_matches error $.routes[0].path_prefix",
            [((*R, "path_prefix"), "label/")],
        ),
        (
            "out_of_range warning $.routes[0].path_prefix",
            [((*R, "path_prefix"), "/label")],
        ),
        (
            "name_reused error $.routes[3].name",
            [(("routes", 3), route("label", path_prefix="/x/"))],
        ),
        (
            "service_unknown error $.routes[3].service",
            [(("routes", 3), {**route("x"), "service": "none"})],
        ),
        (
            "service_unused warning $.services[2].name",
            [(("services", 2), {"name": "spare"})],
        ),
        (
            "destination_never_selected warning "
            "$.routes[0].traffic_split[1].weight",
            set_split(("pool", 1), ("orders", 0)),
        ),
        (
            "destination_never_selected warning $.routes[0].traffic_split",
            [((*R, "traffic_split"), split(("orders", 1)))],
        ),
        (
            "out_of_range error $.routes[0].traffic_split[1].weight",
            set_split(("pool", 1), ("orders", -1)),
        ),
        (
            "key_never_accepted error $.tenants[0].api_keys[0]",
            [(("tenants", 1), {**SECOND, "api_keys": [KEY]})],
        ),
        (
            "key_never_accepted warning $.tenants[0].api_keys[1]",
            [(("tenants", 0, "api_keys"), [KEY, KEY])],
        ),
        (
            "no_key warning $.tenants[1].api_keys",
            [(("tenants", 1), {**SECOND, "api_keys": []})],
        ),
        (
            "no_common_region warning $.routes[0].allowed_regions",
            [
                (("tenants", 1), NORTH),
                ((*R, "allowed_regions"), ["s"]),
                (("routes", 1, "allowed_regions"), ["w", "s"]),
            ],
        ),
        (
            "timeout_below_target error $.routes[1].timeout_ms",
            [(("routes", 1, "timeout_ms"), 299)],
        ),
        (
            "pause_above_timeout warning $.routes[0].gap_target_ms",
            [((*R, "gap_target_ms"), 6_001)],
        ),
        (
            "resume_not_stream error $.routes[1].stream_resume",
            [(("routes", 1, "stream_resume"), True)],
        ),
        (
            "slots_above_connections warning $.services[0].engine.slots",
            [((*S, "max_conns"), 7)],
        ),
        *(
            (f"out_of_range error $.{path}", [(place, value)])
            for path, place, value in [
                ("routes[0].max_attempts", (*R, "max_attempts"), 0),
                ("tenants[0].priority", ("tenants", 0, "priority"), -1),
                ("services[0].engine.read_per_s", (*ENGINE, "read_per_s"), 0),
                ("services[0].engine.hop_ms", (*ENGINE, "hop_ms"), -1),
                ("limits.idle_timeout_ms", ("limits", "idle_timeout_ms"), 0),
            ]
        ),
    ],
)
def test_each_finding_names_rule_and_place(expected, changes):
    report = check(*changes)
    assert list_found(report) == [expected]
    assert report.findings[0].line > 1
    assert report.exit_code == 1
    assert KEY not in str(report)


def run(capsys, *arguments):
    code = check_command.main([str(word) for word in arguments])
    return int(code), capsys.readouterr()


def write(folder, name, *changes):
    path = folder / name
    path.write_bytes(encode(change(*changes)))
    return path


@pytest.mark.parametrize(
    ("content", "line", "path", "message"),
    [
        (b"", None, "$", "truncated"),
        (b'{\n"routes": [,]}', 2, "$", "JSON is malformed"),
        (b"// no comments\n{}", 1, "$", "JSON is malformed"),
        (b"[1]", None, "$", "Expected `object`"),
        (b"[" * 100_000, None, "$", "Expected `object`"),
        (b'{"a":' * 100_000, None, "$", "nested too deeply"),
        (
            b'{"version": "x", "a":' + b"[" * 100_000,
            None,
            "$.version",
            "Expected `int`, got `str`",
        ),
        (
            encode({**CLEAN, "extra": json.loads("[" * 40 + "]" * 40)}),
            None,
            "$.extra" + "[0]" * 32,
            "nested more than 32 levels deep",
        ),
        (
            encode(change(((*R, "timeout_ms"), "x"))),
            9,
            "$.routes[0].timeout_ms",
            "Expected `float`, got `str`",
        ),
        (
            encode(CLEAN).replace(b"6000", b"1e999"),
            None,
            "$.routes[0].timeout_ms",
            "Number out of range",
        ),
        (
            encode(change((("version",), 10**30))),
            2,
            "$.version",
            "found an integer beyond 9007199254740991",
        ),
        (
            encode(change(((*R, "kind"), "odd\x1b[2J"))),
            4,
            "$.routes[0]",
            'unknown kind "odd\\x1b[2J"; one of: idempotent',
        ),
        (
            encode(change(((*R, "service"), None))),
            4,
            "$.routes[0]",
            "one of service and traffic_split is required",
        ),
        (
            b'{"version": 1,\n' + encode(CLEAN)[1:],
            3,
            "$.version",
            "duplicate field, first defined on line 1",
        ),
        (
            encode(CLEAN).replace(b"front", b"\xff", 1),
            6,
            "$",
            "can't decode byte 0xff",
        ),
        (
            encode({n: v for n, v in CLEAN.items() if n != "limits"}),
            1,
            "$",
            "missing required field `limits`",
        ),
    ],
)
def test_file_that_cannot_be_read_ends_with_2(
    tmp_path, capsys, content, line, path, message
):
    file = tmp_path / "c.json"
    file.write_bytes(content)
    for against in ((), ("--against", file)):
        code, printed = run(capsys, file, *against)
        assert (code, printed.out) == (2, "")
        assert f": {path}: error: " in printed.err
        assert message in printed.err
    code, printed = run(capsys, file, "--format", "json")
    [finding] = json.loads(printed.out)["findings"]
    assert (code, finding["source"]) == (2, str(file))
    assert finding["line"] == line


@given(
    st.lists(
        st.sampled_from(
            [
                *(("routes", 0, name) for name in CLEAN["routes"][0]),
                *(("services", 0, "engine", n) for n in ("slots", "step_ms")),
                *(("tenants", 0, n) for n in CLEAN["tenants"][0]),
                *(("limits", n) for n in CLEAN["limits"]),
                ("version",),
                ("extra",),
            ]
        ),
        min_size=1,
        max_size=4,
    ),
    st.data(),
)
def test_no_value_of_a_field_is_an_unexpected_error(paths, data):
    values = st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(10**40), 10**40)
        | st.floats(allow_nan=False, allow_infinity=False)
        | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["id", "name", "x"]), inner, max_size=3
            )
        ),
        max_leaves=6,
    )
    content = encode(change(*((path, data.draw(values)) for path in paths)))
    try:
        report = configuration_check.check_configuration(
            content, "c.json", ("old.json", encode(CLEAN))
        )
    except errors.DocumentError as error:
        assert error.path.startswith("$")
    else:
        assert report.exit_code in (0, 1)


def test_regions_that_the_deployment_lacks_are_found(tmp_path, capsys):
    settings = tmp_path / "settings.json"
    settings.write_text(
        json.dumps(
            platform_cluster.make_settings("i", [1, 2, 3, 4], "127.0.0.1:9")
        )
    )
    file = write(
        tmp_path,
        "c.json",
        ((*R, "allowed_regions"), ["q"]),
        (("tenants", 0, "allowed_regions"), ["q", "r"]),
    )
    assert run(capsys, file)[0] == 0
    code, printed = run(capsys, file, "--settings", settings)
    lines = printed.out.splitlines()
    assert (code, len(lines)) == (1, 2)
    assert "$.routes[0].allowed_regions[0]: error: " in lines[0]
    assert "no region is left" in lines[0]
    assert "$.tenants[0].allowed_regions[0]: warning: " in lines[1]
    for text in ("{", '{"a":' * 100_000):
        settings.write_text(text)
        code, printed = run(capsys, file, "--settings", settings)
        assert (code, str(settings) in printed.err) == (2, True)


def test_differences_from_a_file_show_the_operators_fields(tmp_path, capsys):
    old = write(tmp_path, "old.json")
    new = write(
        tmp_path,
        "new.json",
        (("version",), 2),
        (("routes", 0, "timeout_ms"), 7_000),
        (("routes", 0, "session_affinity"), False),
        (("routes", 1, "max_attempts"), 2.0),
        (("tenants", 0, "api_keys"), ["key-of-one", "new-key"]),
    )
    code, printed = run(capsys, new, "--against", old)
    assert code == 2  # 2.0 is no integer.
    new.write_bytes(new.read_bytes().replace(b"2.0", b"2"))
    code, printed = run(capsys, new, "--against", old)
    assert code == 0
    assert "~ version: 1 -> 2" in printed.out
    assert "~ routes[label].timeout_ms: 6000 -> 7000" in printed.out
    assert "~ routes[label].session_affinity: true -> false" in printed.out
    assert "routes[order]" not in printed.out
    assert "~ tenants[one].api_keys" in printed.out
    assert "new-key" not in printed.out
    code, printed = run(capsys, old, "--against", new)
    assert code == 1
    assert "$.version: error: found 1; more than 2" in printed.out
    code, printed = run(capsys, new, "--against", new)
    assert (code, "no differences" in printed.out) == (0, True)


def test_differences_from_the_version_in_force_are_shown(tmp_path, capsys):
    new = write(tmp_path, "c.json", (("version",), 2))
    options = ("--against", "in-force", "--format", "json")

    async def scenario():
        async with platform_store.Store() as standin:

            async def call():
                return await asyncio.to_thread(
                    run, capsys, new, *options, "--store", standin.address
                )

            code, printed = await call()
            report = json.loads(printed.out)
            assert (code, report["against"]) == (0, "no version in force")
            assert report["differences"][0]["before"] is None
            await standin.put("op/config", CLEAN)
            code, printed = await call()
            report = json.loads(printed.out)
            assert (code, report["against"]) == (0, "the version in force")
            assert report["differences"] == [
                {"path": "version", "before": "1", "after": "2"}
            ]
            await standin.put("op/config", {"version": "x"})
            code, printed = await call()
            [finding] = json.loads(printed.out)["findings"]
            assert (code, finding["source"]) == (2, "the version in force")
            standin.is_down = True
            code, printed = await call()
            [finding] = json.loads(printed.out)["findings"]
            assert (code, finding["source"]) == (2, "in-force")

    asyncio.run(scenario())
    code, printed = run(capsys, new, "--against", "in-force")
    assert (code, "--store is missing" in printed.err) == (2, True)
