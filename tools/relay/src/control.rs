//! The control endpoint.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use hyper::Method;
use serde_json::{Value, json};
use standin_http::{Reply, Request, error, json as reply};

use crate::{
    Patch, RouteSpec,
    route::Route,
    service::{bind, start},
};

pub(crate) type Routes = Rc<RefCell<Vec<Route>>>;

pub(crate) async fn handle(routes: Routes, request: Request) -> Reply {
    match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["routes"]) => reply(200, &describe(&routes.borrow())),
        (&Method::POST, ["routes"]) => add(&routes, &request).await,
        (&Method::POST, ["routes", id]) => patch(&routes, id, &request),
        (&Method::POST, ["routes", id, "cut"]) => {
            let matching = matching_routes(&routes, id);
            matching.iter().for_each(Route::cut_links);
            reply_with(id, &matching)
        }
        _ => error(404, "no such control operation"),
    }
}

async fn add(routes: &Routes, request: &Request) -> Reply {
    let spec: RouteSpec = match request.json() {
        Ok(spec) => spec,
        Err(e) => return error(400, e),
    };
    if routes.borrow().iter().any(|r| r.id() == spec.id) {
        return error(409, format!("route `{}` exists", spec.id));
    }
    match bind(spec).await {
        Ok((route, listener)) => {
            start(route.clone(), listener);
            routes.borrow_mut().push(route);
            reply(200, &describe(&routes.borrow()))
        }
        Err(e) => error(400, e.to_string()),
    }
}

fn patch(routes: &Routes, id: &str, request: &Request) -> Reply {
    let patch: Patch = match request.json() {
        Ok(patch) => patch,
        Err(e) => return error(400, e),
    };
    let matching = matching_routes(routes, id);
    matching.iter().for_each(|route| route.apply(&patch));
    reply_with(id, &matching)
}

fn matching_routes(routes: &Routes, id: &str) -> Vec<Route> {
    let routes = routes.borrow();
    let matching = routes.iter().filter(|r| id == "*" || r.id() == id);
    matching.cloned().collect()
}

fn reply_with(id: &str, matching: &[Route]) -> Reply {
    if matching.is_empty() {
        return error(404, format!("no route `{id}`"));
    }
    reply(200, &describe(matching))
}

fn describe(routes: &[Route]) -> Value {
    let each = routes.iter().map(|r| (r.id(), r.describe()));
    json!(each.collect::<BTreeMap<_, _>>())
}
