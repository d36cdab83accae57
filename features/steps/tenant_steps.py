"""Steps for tenants and their keys."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from builders import preset_text

from lavendermount_core.config.preset import RouteOptions, TenantOptions, parse_preset
from lavendermount_core.exceptions import ConfigurationError
from lavendermount_core.models.calls import Reason, Refusal
from lavendermount_core.presets.records import PresetSnapshot
from lavendermountd.caller.classification import Classification, classify
from lavendermountd.caller.tenancy import intersect_regions
from lavendermountd.dialects.base import CallMetadata
from lavendermountd.http1.messages import WireRequest
from lavendermountd.presets.holder import InForcePreset, compile_preset

ALPHA_KEY = 'alpha-key-1'
SECOND_ALPHA_KEY = 'alpha-key-2'
BETA_KEY = 'beta-key'
PUBLIC_ROUTE = """
[[route]]
service = "dealer-desk"
host = "open"
class = "lookup"
public = true
"""


def tenant_table(name: str, *keys: str, priority: int = 1) -> str:
    """Build the table of a tenant."""
    listed = ', '.join(f'"{key}"' for key in keys)
    return f'[[tenant]]\nname = "{name}"\nkeys = [{listed}]\npriority = {priority}\n'


def in_force(*tenants: str) -> InForcePreset:
    """Build the preset in force with these tenants and a public route."""
    matching = 'matching = "longest-prefix"\n'
    text = matching + preset_text() + PUBLIC_ROUTE + ''.join(tenants)
    return compile_preset(PresetSnapshot(1, 2, 'ordinary', '1', text))


def classified(
    preset: InForcePreset, key: str, host: str = 'field-docs'
) -> Classification | Refusal:
    """Classify a request whose headers name a tenant of their own."""
    headers = [('Host', host), ('X-Tenant', 'gamma')]
    request = WireRequest('GET', '/stock', headers, b'', keeps_alive=True)
    return classify(preset, request, CallMetadata('r', None, key))


def tenant_of(preset: InForcePreset, key: str, host: str = 'field-docs') -> str:
    """Return the tenant to which a request was assigned."""
    result = classified(preset, key, host)
    assert isinstance(result, Classification)
    return result.call_class.tenant


@given('a preset with two tenants and a public route')
def two_tenants(context: Any) -> None:
    """Build the preset."""
    context.preset = in_force(
        tenant_table('alpha', ALPHA_KEY, SECOND_ALPHA_KEY, priority=0),
        tenant_table('beta', BETA_KEY),
    )


@then('a request belongs to the tenant of its key, whatever tenant its headers name')
def by_key(context: Any) -> None:
    """Check tenant and priority of each key."""
    for key, name, priority in (
        (ALPHA_KEY, 'alpha', 0),
        (SECOND_ALPHA_KEY, 'alpha', 0),
        (BETA_KEY, 'beta', 1),
    ):
        result = classified(context.preset, key)
        assert isinstance(result, Classification)
        assert result.call_class.tenant == name
        assert result.call_class.priority == priority


@then('a request without a key, or with an unknown one, is refused as not run')
def unknown_refused(context: Any) -> None:
    """Check both refusals, and that they don't show the key."""
    for key in ('', 'stolen'):
        refusal = classified(context.preset, key)
        assert isinstance(refusal, Refusal)
        assert refusal.reason == Reason.UNKNOWN_KEY
        assert refusal.is_not_run
        assert 'stolen' not in refusal.detail


@then(
    'a request on the public route needs no key, and keeps the tenant of one that it names'
)
def public_route(context: Any) -> None:
    """Check the tenant with a key, and the route's own without."""
    assert tenant_of(context.preset, '', 'open') == 'default'
    assert tenant_of(context.preset, BETA_KEY, 'open') == 'beta'


@when('the next preset moves a key to the other tenant and withdraws another key')
def next_preset(context: Any) -> None:
    """Replace the preset."""
    context.preset = in_force(
        tenant_table('alpha', ALPHA_KEY), tenant_table('beta', SECOND_ALPHA_KEY)
    )


@then('requests with the moved key belong to the other tenant')
def moved_key(context: Any) -> None:
    """Check the tenant of the moved key."""
    assert tenant_of(context.preset, SECOND_ALPHA_KEY) == 'beta'


@then('requests with the withdrawn key are refused as not run')
def withdrawn_key(context: Any) -> None:
    """Check the refusal."""
    refusal = classified(context.preset, BETA_KEY)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.UNKNOWN_KEY


@then(
    'a request may go only to regions that both its route and its tenant allow,'
    ' possibly none'
)
def both_bind(context: Any) -> None:
    """Check the regions for each combination."""
    for of_route, of_tenant, expected in (
        ([], [], None),
        (['n'], [], {'n'}),
        ([], ['s'], {'s'}),
        (['n', 's'], ['s', 'w'], {'s'}),
        (['n'], ['s'], set()),
    ):
        route = RouteOptions({'allowed_regions': of_route})
        tenant = TenantOptions({'allowed_regions': of_tenant})
        assert intersect_regions(route, tenant) == expected, (of_route, of_tenant)


@then(
    'presets with a shared, an empty or a malformed key are rejected without showing it'
)
def invalid_keys(context: Any) -> None:
    """Check the findings of each preset."""
    shared = tenant_table('alpha', 'secret-1') + tenant_table('beta', 'secret-1')
    malformed = '[[tenant]]\nname = "alpha"\nkeys = "secret-2"\n'
    for tenants in (shared, tenant_table('alpha', ''), malformed):
        try:
            parse_preset(preset_text() + tenants, 'test')
        except ConfigurationError as error:
            assert 'tenant[' in str(error), error
            assert 'secret' not in str(error), error
        else:
            raise AssertionError(tenants)


@then('requests need no key, and their headers name the tenant')
def without_tenants(context: Any) -> None:
    """Check a route that names the header of its tenant."""
    assert tenant_of(in_force(), '', 'elsewhere') == 'gamma'
