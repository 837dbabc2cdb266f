"""Names that the platform defines are used only in the platform folder."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parents[1]
EXCLUDED_FOLDERS = ("platform", "standins", "tests")
PLATFORM_NAMES = re.compile(
    r"X-(Attempt-Id|Response-Seal|Not-Executed|Deadline-Ms|Expect-|Token-Counts"
    r"|Prompt-Prefix|Length-Hint|Tenant|Hold|Pin-Ms|Kv)|Kv-(From|Fetch)"
    r"|rows-(get|tx|feed|parts)|blob-(put|get|drop|list)|expected_revision"
    r"|CRANBERRYGLADE_BOOT|traffic_split|path_prefix|api_keys"
    r"|stream_resume|gap_aim_ms|internal_port_range|quota_overage"
    r"|seed_addrs|op/config|servers/",
    re.IGNORECASE,
)


def sources():
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] not in EXCLUDED_FOLDERS
    ]


@pytest.mark.parametrize(
    "path", sources(), ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_platform_names_are_used_only_in_their_folder(path):
    found = PLATFORM_NAMES.findall(path.read_text(encoding="utf-8"))
    assert not found, path


def test_the_check_finds_a_platform_name():
    text = (PACKAGE / "platform" / "headers.py").read_text(encoding="utf-8")
    assert PLATFORM_NAMES.search(text)


def test_the_folder_stays_small():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in (PACKAGE / "platform").glob("*.py")
    )
    assert lines < 1000
