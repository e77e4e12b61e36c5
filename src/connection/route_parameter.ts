/**
 * Returns a named parameter of a route's path.
 *
 * @returns The first value of the parameter; an empty string if the path doesn't have it.
 */
export function routeParameter(
  request: { params: Readonly<Record<string, string | string[]>> },
  name: string,
): string {
  const value = request.params[name];
  return typeof value === "string" ? value : (value?.[0] ?? "");
}
