//! HTTP interface of the platform stand-in.

use std::{future, sync::Arc, time::Duration};

use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use hyper::body::Incoming;
use serde_json::json;
use span_http::{Body, collect_body, full_body, json_response, read_json_body};
use tokio::time::Instant;

use super::{
    Faults, Instance, State,
    store::{MAX_VALUE_BYTES, Object, Precondition, PutError},
};
use crate::unix_us;

const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Answers one request with the active faults applied. `/faults` and
/// `/counters` are not subject to faults.
pub(super) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/faults" {
        return set_faults(&state, request).await;
    }
    if request.uri().path() == "/counters" {
        return json_response(StatusCode::OK, &state.store().counters);
    }
    let faults = state.faults();
    if faults.silent {
        return future::pending().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
    }
    let is_write = request.method() != Method::GET;
    count_call(&state, is_write);
    let response = route(&state, request, &faults).await;
    if is_write && faults.lose_write_answers {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the answer was lost");
    }
    response
}

fn count_call(state: &State, is_write: bool) {
    let counters = &mut state.store().counters;
    if is_write {
        counters.writes += 1;
    } else {
        counters.reads += 1;
    }
}

async fn route(state: &State, request: Request<Incoming>, faults: &Faults) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(key) = path.strip_prefix("/objects/") {
        return match *request.method() {
            Method::GET => get_object(state, key, &request, faults).await,
            Method::PUT => put_object(state, key, request).await,
            Method::DELETE => delete_response(state.store().delete(key)),
            _ => error(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        };
    }
    if let Some(name) = path.strip_prefix("/instances/") {
        return match *request.method() {
            Method::PUT => put_instance(state, request).await,
            Method::DELETE => delete_response(state.store().delete_instance(now_ms(), name)),
            _ => error(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        };
    }
    match path.as_str() {
        "/objects" => {
            let prefix = query_parameter(&request, "prefix").unwrap_or_default();
            json_response(StatusCode::OK, &state.store().keys(&prefix))
        }
        "/instances" => {
            let list = state.store().list(now_ms(), faults.list_lag_ms);
            json_response(StatusCode::OK, &list)
        }
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn now_ms() -> u64 {
    unix_us() / 1000
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({ "error": { "message": message } }))
}

fn delete_response(existed: bool) -> Response<Body> {
    let status = if existed { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND };
    let mut response = Response::new(span_http::empty_body());
    *response.status_mut() = status;
    response
}

fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

/// Reads an object. The query parameter `after` makes the read a watch: it waits
/// up to `wait_ms` for a version above `after` and answers with status 304 if
/// there is none by then.
async fn get_object(
    state: &State,
    key: &str,
    request: &Request<Incoming>,
    faults: &Faults,
) -> Response<Body> {
    let number = |name| query_parameter(request, name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after");
    let wait_ms = number("wait_ms").unwrap_or(0).min(MAX_WATCH_WAIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = state.store_changed.notified();
        let object = state.store().get(key).cloned();
        match (object, after) {
            (Some(object), None) => return object_response(object),
            (Some(object), Some(after)) if object.version > after && !faults.stale_watches => {
                return object_response(object);
            }
            (None, None) => return error(StatusCode::NOT_FOUND, "no such object"),
            _ => {}
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return empty_response(StatusCode::NOT_MODIFIED);
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(span_http::empty_body());
    *response.status_mut() = status;
    response
}

fn object_response(object: Object) -> Response<Body> {
    let mut response = Response::new(full_body(object.value));
    response.headers_mut().insert(ETAG, HeaderValue::from(object.version));
    response
}

async fn put_object(state: &State, key: &str, request: Request<Incoming>) -> Response<Body> {
    let condition = match precondition(&request) {
        Ok(condition) => condition,
        Err(message) => return error(StatusCode::BAD_REQUEST, message),
    };
    let value = match collect_body(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(value) => value.to_vec(),
        Err(err) => return error(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string()),
    };
    let result = state.store().put(key, value, condition);
    match result {
        Ok(version) => {
            state.store_changed.notify_waiters();
            let mut response = empty_response(StatusCode::OK);
            response.headers_mut().insert(ETAG, HeaderValue::from(version));
            response
        }
        Err(err @ PutError::Conflict { .. }) => {
            error(StatusCode::PRECONDITION_FAILED, &err.to_string())
        }
        Err(err @ PutError::TooLarge) => error(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string()),
    }
}

fn precondition(request: &Request<Incoming>) -> Result<Precondition, &'static str> {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    match (header(IF_MATCH.as_str()), header(IF_NONE_MATCH.as_str())) {
        (None, None) => Ok(Precondition::None),
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(version), None) => match version.parse() {
            Ok(version) => Ok(Precondition::Version(version)),
            Err(_) => Err("if-match is not a version"),
        },
        _ => Err("the conditions are not understood"),
    }
}

async fn put_instance(state: &State, request: Request<Incoming>) -> Response<Body> {
    match read_json_body::<Instance, _>(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(instance) => {
            state.store().put_instance(now_ms(), instance);
            empty_response(StatusCode::OK)
        }
        Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}

async fn set_faults(state: &State, request: Request<Incoming>) -> Response<Body> {
    match read_json_body(request.into_body(), MAX_VALUE_BYTES).await {
        Ok(faults) => {
            *state.faults.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = faults;
            state.store_changed.notify_waiters();
            empty_response(StatusCode::OK)
        }
        Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}
