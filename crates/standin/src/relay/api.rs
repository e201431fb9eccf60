//! HTTP control interface of the relay: `GET /routes`, `POST /routes` with
//! [`RouteSettings`], `POST /routes/<name>/faults` with [`Faults`].

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use span_http::{Body, json_response, read_json_body};

use super::{Faults, RouteSettings, Routes};

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answers one request to the control interface.
pub(super) async fn handle(routes: Routes, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let route = path.strip_prefix("/routes/").and_then(|rest| rest.strip_suffix("/faults"));
    match (request.method(), path.as_str(), route) {
        (&Method::GET, "/routes", _) => list_routes(&routes),
        (&Method::POST, "/routes", _) => add_route(&routes, request).await,
        (&Method::POST, _, Some(name)) => set_faults(&routes, name, request).await,
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({ "error": { "message": message } }))
}

fn list_routes(routes: &Routes) -> Response<Body> {
    let routes = routes.lock();
    let descriptions = routes.iter().map(|(name, route)| {
        json!({ "name": name, "address": route.address(), "faults": route.faults() })
    });
    json_response(StatusCode::OK, &descriptions.collect::<Vec<_>>())
}

async fn add_route(routes: &Routes, request: Request<Incoming>) -> Response<Body> {
    let settings: RouteSettings = match read_json_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(settings) => settings,
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match routes.add(settings).await {
        Ok(address) => json_response(StatusCode::OK, &json!({ "address": address })),
        Err(err) => error(StatusCode::CONFLICT, &err.to_string()),
    }
}

async fn set_faults(routes: &Routes, name: &str, request: Request<Incoming>) -> Response<Body> {
    let faults: Faults = match read_json_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(faults) => faults,
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match routes.lock().get(name) {
        Some(route) => route.set_faults(faults),
        None => return error(StatusCode::NOT_FOUND, "no such route"),
    }
    json_response(StatusCode::OK, &faults)
}
