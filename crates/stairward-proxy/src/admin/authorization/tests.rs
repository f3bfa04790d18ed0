//! Which requests need a token.

use gotham::hyper::HeaderMap;
use gotham::hyper::header::{AUTHORIZATION, HeaderValue};

use super::{AdminToken, is_allowed};

fn headers(authorization: Option<&'static str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(value) = authorization {
        headers.insert(AUTHORIZATION, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn only_loopback_goes_without_a_token() {
    let token = AdminToken::new("secret");
    let cases = [
        ("127.0.0.1", None, true),
        ("::1", None, true),
        ("10.0.0.7", None, false),
        ("10.0.0.7", Some("Bearer secret"), true),
        ("10.0.0.7", Some("Bearer Secret"), false),
        ("10.0.0.7", Some("Bearer secret2"), false),
        ("10.0.0.7", Some("Basic secret"), false),
        ("10.0.0.7", Some("Bearer "), false),
        ("127.0.0.1", Some("Bearer wrong"), false),
    ];
    for (address, shown, expected) in cases {
        let client = address.parse().ok();
        let allowed = is_allowed(client, &headers(shown), Some(&token));
        assert_eq!(allowed, expected, "{address} {shown:?}");
    }
}

#[test]
fn without_a_configured_token_others_are_refused() {
    let client = "10.0.0.7".parse().ok();
    assert!(!is_allowed(client, &headers(Some("Bearer x")), None));
    assert!(!is_allowed(None, &headers(None), None));
}
