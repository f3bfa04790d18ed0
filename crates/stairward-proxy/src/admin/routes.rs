//! Which request goes to which handler.

use gotham::helpers::http::Body;
use gotham::hyper::header::CONTENT_TYPE;
use gotham::hyper::{Response, StatusCode};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{new_pipeline, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute as _, DrawRoutes as _, build_router};
use gotham::router::response::ResponseExtender;
use gotham::state::State;

use super::authorization::RequireToken;
use super::backends::get_backends;
use super::context::AdminContext;
use super::edits::{BackendName, mark_backend, post_edit};
use super::error::AdminError;
use super::settings::{SettingsQuery, get_history, get_settings};
use super::status::{get_health, get_metrics, get_ready, get_status};

/// The routes of the admin interface.
pub(super) fn router(context: AdminContext) -> Router {
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(context))
        .add(RequireToken)
        .build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/health").to_async_borrowing(get_health);
        route.get("/ready").to_async_borrowing(get_ready);
        route.get("/metrics").to_async_borrowing(get_metrics);
        route.get("/status").to_async_borrowing(get_status);
        route
            .get("/settings")
            .with_query_string_extractor::<SettingsQuery>()
            .to_async_borrowing(get_settings);
        route
            .get("/settings/history")
            .to_async_borrowing(get_history);
        route.post("/settings/edits").to_async_borrowing(post_edit);
        route.get("/backends").to_async_borrowing(get_backends);
        route
            .post("/backends/:name")
            .with_path_extractor::<BackendName>()
            .to_async_borrowing(mark_backend);
        for status in [
            StatusCode::NOT_FOUND,
            StatusCode::METHOD_NOT_ALLOWED,
            StatusCode::BAD_REQUEST,
        ] {
            route.add_response_extender(status, DescribeRefusal);
        }
    })
}

/// Gives the router's own refusals a body.
struct DescribeRefusal;

impl ResponseExtender<Body> for DescribeRefusal {
    fn extend(&self, _state: &mut State, response: &mut Response<Body>) {
        if response.headers().contains_key(CONTENT_TYPE) {
            return;
        }
        let status = response.status();
        let reason = status.canonical_reason().unwrap_or("refused");
        let described = AdminError::bad_request(reason).into_response();
        *response = described;
        *response.status_mut() = status;
    }
}
