"""The profile of hypothesis: the same examples on every run."""

import hypothesis

hypothesis.settings.register_profile(
    'chivepond',
    derandomize=True,
    deadline=None,
    print_blob=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('chivepond')
