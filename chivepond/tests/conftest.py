"""Settings that all tests share."""

import hypothesis

hypothesis.settings.register_profile(
    'chivepond',
    derandomize=True,
    deadline=None,
)
hypothesis.settings.load_profile('chivepond')
