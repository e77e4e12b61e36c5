/**
 * A named part of a route's path.
 *
 * @returns The part, or an empty text where the path has none.
 */
export function routeParameter(
  request: { params: Readonly<Record<string, string | string[]>> },
  name: string,
): string {
  const value = request.params[name];
  return typeof value === "string" ? value : (value?.[0] ?? "");
}
