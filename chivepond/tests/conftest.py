"""Settings of the test run: property tests draw the same examples always."""

import hypothesis

hypothesis.settings.register_profile(
    'chivepond',
    derandomize=True,
    deadline=None,
)
hypothesis.settings.load_profile('chivepond')
