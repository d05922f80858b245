"""The id that tells daemons of several builds apart."""

import pytest

from eelgrasslock import build_id


class TestBuildId:
    @pytest.fixture(autouse=True)
    def file(self, tmp_path, monkeypatch):
        self.path = tmp_path / "build_id.txt"
        monkeypatch.setattr(build_id, "_FILE", self.path)
        build_id.read_build_id.cache_clear()
        yield
        build_id.read_build_id.cache_clear()

    def test_it_is_what_the_build_wrote(self):
        self.path.write_text("1a2b3c\n")
        assert build_id.read_build_id() == "1a2b3c"

    @pytest.mark.parametrize("text", [None, ""])
    def test_sources_that_were_not_built_have_none(self, text):
        if text is not None:
            self.path.write_text(text)
        assert build_id.read_build_id() == build_id.UNKNOWN
