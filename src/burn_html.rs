//! Renders the burn report as a self-contained HTML page with inline styles and SVG plots and without scripts.

use std::fmt::Write as _;

use crate::burn::{RING_SLOTS, WINDOW_NAMES, step_ms};
use crate::burn_sum::{FAST_ALARM_BURN, Row, SLOW_ALARM_BURN, Summary, Total, duration_text};

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;color:#1a1a1a;background:#fff;margin:24px auto;\
max-width:1180px;padding:0 16px}h1{font-size:24px;margin:0 0 4px}h2{font-size:19px;margin:32px 0 4px}\
p{margin:4px 0 10px}.box{border-left:4px solid #777;background:#f4f4f4;padding:8px 14px;margin:12px 0}\
.bad{border-color:#b00020;background:#fdecee}.box ul{margin:4px 0;padding-left:20px}\
table{border-collapse:collapse;width:100%}th,td{padding:5px 10px;border-bottom:1px solid #ddd;text-align:right}\
th{background:#f4f4f4;font-weight:600}th.t,td.t{text-align:left}tr.sum td{font-weight:600}\
td.slow{background:#fff1d6}td.fast{background:#fbd5d9}.alarm{color:#b00020;font-weight:600}\
.key span{margin-right:18px;white-space:nowrap}.key i{display:inline-block;width:22px;height:0;border-top:3px solid;\
vertical-align:middle;margin-right:6px}.plots{display:flex;flex-wrap:wrap;gap:12px}\
figure{margin:0}figcaption{font-size:13px;color:#444}small{color:#444}";

/// Colours of failure domains; distinguishable with the common kinds of colour blindness (Okabe and Ito).
const COLOURS: [&str; 6] = [
    "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9",
];
/// Five plots for each of 1,000 services would make a page of about 30 MB.
const PLOTTED_MAX: usize = 40;
const SUM_COLOUR: &str = "#222222";

// Size and inner area of a plot in SVG user units.
const WIDTH: f64 = 370.0;
const HEIGHT: f64 = 170.0;
const LEFT: f64 = 44.0;
const RIGHT: f64 = 362.0;
const TOP: f64 = 10.0;
const BOTTOM: f64 = 142.0;

/// Burn rates at which horizontal lines are drawn, including the two alarm thresholds.
const TICKS: [f64; 7] = [
    0.0,
    SLOW_ALARM_BURN,
    FAST_ALARM_BURN,
    100.0,
    1_000.0,
    10_000.0,
    100_000.0,
];

/// Lowest burn rate at the top of the vertical axis, so that both alarm thresholds are visible.
const AXIS_TOP_MIN: f64 = 20.0;

/// Alarm threshold drawn for each window; that of the last one marks the rate that spends the budget in 30 days.
const ALARM_BURN: [f64; WINDOW_NAMES.len()] = [
    FAST_ALARM_BURN,
    FAST_ALARM_BURN,
    SLOW_ALARM_BURN,
    SLOW_ALARM_BURN,
    SLOW_ALARM_BURN,
];

/// Renders the page, with `title_time` as the time of the report.
#[must_use]
pub fn render(summary: &Summary, title_time: &str) -> String {
    let mut page = String::with_capacity(64 * 1024);
    page.push_str("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<meta http-equiv=\"Content-Security-Policy\" ");
    page.push_str("content=\"default-src 'none'; style-src 'unsafe-inline'\">");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width\">");
    page.push_str("<title>Service-level burn</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body>\n<h1>Service-level burn</h1>\n");
    push_fmt(
        &mut page,
        format_args!(
            "<p><small>{}. Data from {} entry hosts. Burn 1 spends the budget in exactly 30 days.</small></p>\n",
            escape(title_time),
            summary.answered.len()
        ),
    );
    let partial = "Data are missing. The figures leave out:";
    list_box(&mut page, "box bad", partial, &summary.missing);
    list_box(&mut page, "box", "Limits of the figures:", &summary.notes);
    if summary.rows.is_empty() {
        page.push_str("<p>No host counted a request.</p>\n");
    } else {
        table(&mut page, &summary.rows);
    }
    let (plotted, left_out) = plotted_services(&summary.rows);
    if left_out > 0 {
        push_fmt(
            &mut page,
            format_args!(
                "<p>Plots of the {PLOTTED_MAX} services with the least budget left; {left_out} more are in the table \
                 only.</p>\n"
            ),
        );
    }
    for rows in plotted {
        service_section(&mut page, rows);
    }
    page.push_str("</body></html>\n");
    page
}

/// Returns the rows of the services to plot, in the order of the table, and the number of services left out.
fn plotted_services(rows: &[Row]) -> (Vec<&[Row]>, usize) {
    let services = rows.chunk_by(|left, right| left.service == right.service);
    let mut services: Vec<(usize, &[Row])> = services.enumerate().collect();
    let left_out = services.len().saturating_sub(PLOTTED_MAX);
    // The sum over all failure domains is the first row.
    let budget_left = |rows: &[Row]| rows.first().and_then(|row| row.budget_left).unwrap_or(1.0);
    services.sort_by(|(_, a), (_, b)| budget_left(a).total_cmp(&budget_left(b)));
    services.truncate(PLOTTED_MAX);
    services.sort_by_key(|(position, _)| *position);
    let services = services.into_iter().map(|(_, rows)| rows);
    (services.collect(), left_out)
}

fn push_fmt(page: &mut String, text: std::fmt::Arguments<'_>) {
    let _infallible = page.write_fmt(text);
}

fn list_box(page: &mut String, class: &str, title: &str, items: &[String]) {
    if items.is_empty() {
        return;
    }
    push_fmt(
        page,
        format_args!("<div class=\"{class}\"><b>{title}</b><ul>"),
    );
    for item in items {
        push_fmt(page, format_args!("<li>{}</li>", escape(item)));
    }
    page.push_str("</ul></div>\n");
}

fn table(page: &mut String, rows: &[Row]) {
    page.push_str(
        "<table><thead><tr><th class=\"t\">Service</th><th class=\"t\">Failure domain</th>",
    );
    for name in WINDOW_NAMES {
        push_fmt(page, format_args!("<th>Burn {name}</th>"));
    }
    page.push_str("<th>Budget left</th><th class=\"t\">Alarm</th></tr></thead><tbody>\n");
    for row in rows {
        table_row(page, row);
    }
    page.push_str("</tbody></table>\n");
    push_fmt(
        page,
        format_args!(
            "<p><small>Fast alarm: 5 min and 1 h both at {FAST_ALARM_BURN} or more. Slow alarm: 6 h and 3 d both at \
             {SLOW_ALARM_BURN} or more. The alarms are the red dashed lines in the plots, whose vertical axis is \
             logarithmic. &ndash; means no requests. * means that a host began counting within the window, so that \
             older requests are missing.</small></p>\n"
        ),
    );
}

fn table_row(page: &mut String, row: &Row) {
    let class = if row.failure_domain.is_none() {
        " class=\"sum\""
    } else {
        ""
    };
    push_fmt(
        page,
        format_args!(
            "<tr{class}><td class=\"t\">{}</td><td class=\"t\">{}</td>",
            escape(&row.service),
            domain_name(row)
        ),
    );
    for window in &row.windows {
        let class = match window.burn {
            Some(burn) if burn >= FAST_ALARM_BURN => "fast",
            Some(burn) if burn >= SLOW_ALARM_BURN => "slow",
            _ => "",
        };
        let mark = if window.forgotten { "*" } else { "" };
        let burn = number(window.burn);
        push_fmt(
            page,
            format_args!("<td class=\"{class}\">{burn}{mark}</td>"),
        );
    }
    let left = row
        .budget_left
        .map_or("&ndash;".to_owned(), |left| format!("{:.1}%", left * 100.0));
    let alarm = match (row.fast_alarm, row.slow_alarm) {
        (true, true) => "fast, slow",
        (true, false) => "fast",
        (false, true) => "slow",
        (false, false) => "",
    };
    push_fmt(
        page,
        format_args!("<td>{left}</td><td class=\"t alarm\">{alarm}</td></tr>\n"),
    );
}

fn number(burn: Option<f64>) -> String {
    burn.map_or("&ndash;".to_owned(), |burn| format!("{burn:.2}"))
}

fn domain_name(row: &Row) -> String {
    let name = row.failure_domain.as_deref();
    name.map_or("all that answered".to_owned(), escape)
}

fn service_section(page: &mut String, rows: &[Row]) {
    let Some(first) = rows.first() else {
        return;
    };
    push_fmt(page, format_args!("<h2>{}</h2>\n", escape(&first.service)));
    push_fmt(
        page,
        format_args!(
            "<p>Level: {} of requests answered without a server error within {} ms.</p>\n",
            percent(first.level.good_ppm),
            first.level.latency_ms
        ),
    );
    let drawn = drawn_rows(rows);
    legend(page, &drawn, rows.len());
    page.push_str("<div class=\"plots\">\n");
    for window in 0..WINDOW_NAMES.len() {
        plot(page, &drawn, window);
    }
    page.push_str("</div>\n");
}

/// Selects the sum and as many failure domains as there are colours, those with the least budget left.
fn drawn_rows(rows: &[Row]) -> Vec<(&Row, &'static str)> {
    let mut domains: Vec<&Row> = rows
        .iter()
        .filter(|row| row.failure_domain.is_some())
        .collect();
    let budget_left = |row: &Row| row.budget_left.unwrap_or(1.0);
    domains.sort_by(|a, b| budget_left(a).total_cmp(&budget_left(b)));
    domains.truncate(COLOURS.len());
    domains.sort_by(|a, b| a.failure_domain.cmp(&b.failure_domain));
    let mut drawn: Vec<(&Row, &'static str)> = domains.into_iter().zip(COLOURS).collect();
    // Drawn last, so that it lies on top.
    let sum = rows.iter().find(|row| row.failure_domain.is_none());
    drawn.extend(sum.map(|row| (row, SUM_COLOUR)));
    drawn
}

fn legend(page: &mut String, drawn: &[(&Row, &str)], rows: usize) {
    page.push_str("<p class=\"key\">");
    for (row, colour) in drawn {
        let name = domain_name(row);
        push_fmt(
            page,
            format_args!("<span><i style=\"border-color:{colour}\"></i>{name}</span>"),
        );
    }
    if rows > drawn.len() {
        let hidden = rows - drawn.len();
        push_fmt(
            page,
            format_args!(
                "<small>{hidden} failure domains with more budget left are in the table only.</small>"
            ),
        );
    }
    page.push_str("</p>\n");
}

fn plot(page: &mut String, drawn: &[(&Row, &str)], window: usize) {
    let mut top = AXIS_TOP_MIN;
    for (row, _) in drawn {
        for step in &row.windows[window].steps {
            top = top.max(step.burn_rate(row.level).unwrap_or(0.0));
        }
    }
    let name = WINDOW_NAMES[window];
    let step = duration_text(step_ms(window));
    push_fmt(
        page,
        format_args!(
            "<figure><svg role=\"img\" aria-label=\"Burn over {name}\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
             viewBox=\"0 0 {WIDTH} {HEIGHT}\" font-family=\"system-ui,sans-serif\" font-size=\"11\" fill=\"#444\">"
        ),
    );
    axes(page, top, window);
    for (row, colour) in drawn {
        draw_row(page, row, window, top, colour);
    }
    push_fmt(
        page,
        format_args!(
            "</svg><figcaption>Burn over {name}, in steps of {step}</figcaption></figure>\n"
        ),
    );
}

/// Draws the horizontal lines; that of the window's alarm threshold is red and dashed.
fn axes(page: &mut String, top: f64, window: usize) {
    let alarm = ALARM_BURN[window];
    for tick in TICKS {
        if tick > top {
            continue;
        }
        let y = y_of_burn(tick, top);
        let label_y = y + 4.0;
        let label_x = LEFT - 6.0;
        let style = if tick.total_cmp(&alarm).is_eq() {
            "stroke=\"#b00020\" stroke-dasharray=\"5 4\""
        } else {
            "stroke=\"#ddd\""
        };
        push_fmt(
            page,
            format_args!(
                "<line x1=\"{LEFT}\" y1=\"{y:.1}\" x2=\"{RIGHT}\" y2=\"{y:.1}\" {style}/>\
                 <text x=\"{label_x}\" y=\"{label_y:.1}\" text-anchor=\"end\">{tick}</text>"
            ),
        );
    }
    let y = BOTTOM + 18.0;
    let name = WINDOW_NAMES[window];
    push_fmt(
        page,
        format_args!(
            "<text x=\"{LEFT}\" y=\"{y}\">{name} ago</text>\
             <text x=\"{RIGHT}\" y=\"{y}\" text-anchor=\"end\">now</text>"
        ),
    );
}

/// Draws one row with gaps at steps without requests, and a dot for a single step between two gaps.
fn draw_row(page: &mut String, row: &Row, window: usize, top: f64, colour: &str) {
    let steps = &row.windows[window].steps;
    let stroke = if row.failure_domain.is_none() {
        2.4
    } else {
        1.5
    };
    for (start, run) in contiguous_steps(steps) {
        let mut points = String::new();
        for (offset, step) in run.iter().enumerate() {
            let x = x_of_age(start + offset);
            let y = y_of_burn(step.burn_rate(row.level).unwrap_or(0.0), top);
            push_fmt(&mut points, format_args!("{x:.1},{y:.1} "));
        }
        let points = points.trim_end();
        let Some((x, y)) = points.split_once(',') else {
            continue;
        };
        if run.len() == 1 {
            push_fmt(
                page,
                format_args!("<circle cx=\"{x}\" cy=\"{y}\" r=\"{stroke}\" fill=\"{colour}\"/>"),
            );
            continue;
        }
        push_fmt(
            page,
            format_args!(
                "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"{stroke}\"/>"
            ),
        );
    }
}

/// Returns the runs of consecutive steps that have requests, each with the age of its first step.
fn contiguous_steps(steps: &[Total]) -> Vec<(usize, &[Total])> {
    let has_requests = |step: &Total| step.good + step.bad > 0;
    let mut runs = Vec::new();
    let mut start = 0;
    for run in steps.chunk_by(|left, right| has_requests(left) == has_requests(right)) {
        if run.first().is_some_and(has_requests) {
            runs.push((start, run));
        }
        start += run.len();
    }
    runs
}

#[allow(clippy::cast_precision_loss, reason = "an age is below RING_SLOTS")]
fn x_of_age(age: usize) -> f64 {
    let last = (RING_SLOTS - 1) as f64;
    RIGHT - (RIGHT - LEFT) * (age as f64) / last
}

/// Maps a burn rate to a y coordinate, on a logarithmic scale shifted by 1 to include 0. With few requests in a step,
/// one bad request makes a burn rate of several hundred, which would hide the alarm thresholds on a linear scale.
fn y_of_burn(burn: f64, top: f64) -> f64 {
    let share = burn.ln_1p() / top.ln_1p();
    BOTTOM - (BOTTOM - TOP) * share.min(1.0)
}

fn percent(ppm: u32) -> String {
    let text = format!("{:.4}", f64::from(ppm) / 10_000.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            other => escaped.push(other),
        }
    }
    escaped
}
