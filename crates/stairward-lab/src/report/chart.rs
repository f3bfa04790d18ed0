//! Line charts as SVG.

use std::error::Error;

use plotters::prelude::*;
use snafu::Snafu;

/// Size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (880, 330);
/// Room for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 60;
/// Space around the drawing, in pixels.
const MARGIN: u32 = 12;
/// Room above the largest value, as a factor.
const HEADROOM: f64 = 1.08;
/// Smallest height or width of an axis, so that flat data is drawn too.
const SMALLEST_RANGE: f64 = 1e-6;
/// Radius of a point, in pixels.
const POINT_RADIUS: u32 = 3;
/// Colours of the series, in order.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];
/// Colour of the marks.
const MARK_COLOUR: RGBColor = RGBColor(120, 120, 120);

/// A chart that could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("the chart {title:?} cannot be drawn: {text}"))]
pub struct ChartError {
    /// The chart's title.
    title: String,
    /// Why.
    text: String,
}

/// One line of a chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// What it shows.
    pub name: String,
    /// Its points, in order.
    pub points: Vec<(f64, f64)>,
}

/// A vertical line at which something happened.
#[derive(Debug, Clone, PartialEq)]
pub struct Mark {
    /// Where on the horizontal axis.
    pub at: f64,
    /// What happened.
    pub text: String,
}

/// A chart of lines over a common horizontal axis.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Chart {
    /// Above the chart.
    pub title: String,
    /// Name and unit of the horizontal axis.
    pub horizontal: String,
    /// Name and unit of the vertical axis.
    pub vertical: String,
    /// The lines.
    pub series: Vec<Series>,
    /// The marks.
    pub marks: Vec<Mark>,
}

impl Chart {
    /// Draws the chart as an SVG element.
    ///
    /// # Errors
    /// [`ChartError`] when the drawing library fails.
    pub fn to_svg(&self) -> Result<String, ChartError> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| ChartError {
            title: self.title.clone(),
            text: error.to_string(),
        })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let (width, height) = self.extent();
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(0.0..width, 0.0..height)?;
        chart
            .configure_mesh()
            .x_desc(&self.horizontal)
            .y_desc(&self.vertical)
            .draw()?;
        for (series, colour) in self.series.iter().zip(COLOURS.iter().cycle()) {
            let points = series.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points, colour).point_size(POINT_RADIUS))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        for mark in &self.marks {
            let line = [(mark.at, 0.0), (mark.at, height)];
            chart.draw_series(LineSeries::new(line, MARK_COLOUR))?;
            let text = Text::new(
                mark.text.clone(),
                (mark.at, height),
                ("sans-serif", 11).into_font().color(&MARK_COLOUR),
            );
            chart.draw_series([text])?;
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Largest values on the two axes, with some room.
    fn extent(&self) -> (f64, f64) {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let marks = self.marks.iter().map(|mark| mark.at);
        let width = points()
            .map(|point| point.0)
            .chain(marks)
            .fold(0.0, f64::max);
        let height = points().map(|point| point.1).fold(0.0, f64::max);
        (
            (width * HEADROOM).max(SMALLEST_RANGE),
            (height * HEADROOM).max(SMALLEST_RANGE),
        )
    }
}
